"""AMQP 0-9-1 transport: calls to endpoints that are brokers."""
