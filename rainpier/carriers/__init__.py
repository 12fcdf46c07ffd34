"""Transports: carry calls to endpoints over HTTP/1.1 or AMQP 0-9-1."""
