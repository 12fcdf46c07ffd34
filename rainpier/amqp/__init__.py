"""AMQP 0-9-1 without I/O: frames, channels and connections, for servers and clients."""
