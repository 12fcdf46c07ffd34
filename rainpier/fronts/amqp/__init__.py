"""AMQP 0-9-1 listener: clients publish messages and consume their completions."""
