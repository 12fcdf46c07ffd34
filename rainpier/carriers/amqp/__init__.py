"""AMQP 0-9-1 carrier: endpoints that are brokers."""
