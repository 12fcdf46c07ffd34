"""A sidecar among stand-in receivers, in one command."""
