"""The control socket of a running sidecar."""
