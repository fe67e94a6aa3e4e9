"""Administration: operators' calls to one instance, what of them is stored, and upgrades in service.

`admin_connection` reads a call from HTTP, `admin_router` maps its path, `admin_service` carries it out.
`admin_state` and `state_file` store what must outlast a process; `replicated_disables` makes decisions known
to the fleet. `process_quota` and `process_registry` share an instance's bounds between two processes while a
new version takes over. `admin_client` and `admin_output` are the command line's side. `errors` has the
exceptions, under OpsError.
"""
