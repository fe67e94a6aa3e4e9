"""Administration: operators' calls to an instance, the state that they set, and upgrades without downtime.

Calls: `admin_connection` receives a call over HTTP, `admin_router` dispatches it by its path, `admin_service`
executes it. `admin_calls`, `admin_client` and `admin_output` are the command line's side.

State: `admin_state` and `state_file` persist the administrative state; `replicated_disables` replicates
decisions on backends and instances to the fleet.

Upgrades: `process_quota` divides an instance's capacity between its two processes, `process_record` is what
each publishes, `process_registry` stores the records.

`errors` defines the exceptions, whose base class is OpsError.
"""
