"""HTTP/1.1: calls to receivers."""
