"""HTTP/1.1 transport: calls to endpoints that are HTTP servers."""
