"""Stand-ins of the second review: the platform's agent, receivers, a client, and a sender's process."""
