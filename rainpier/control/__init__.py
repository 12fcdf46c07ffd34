"""A running sidecar's state, on a local socket."""
