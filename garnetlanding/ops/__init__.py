"""Administration: operators' calls to one instance, the state they leave, and upgrades in service.

Calls: `admin_connection` reads one from HTTP, `admin_router` maps its path, `admin_service` carries it out.
`admin_calls`, `admin_client` and `admin_output` are the command line's side.

State: `admin_state` and `state_file` store what outlasts a process; `replicated_disables` replicates
decisions on backends and instances to the fleet.

Upgrades: `process_quota` divides an instance's capacity between its two processes, `process_record` is what
each publishes, `process_registry` stores the records.

`errors` has the exceptions, under OpsError.
"""
