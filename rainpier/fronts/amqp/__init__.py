"""AMQP 0-9-1 front: clients publish messages and consume how they ended."""
