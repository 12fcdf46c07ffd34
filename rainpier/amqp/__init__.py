"""AMQP 0-9-1, free of I/O: frames, channels and connections, for both sides and for the stand-ins."""
