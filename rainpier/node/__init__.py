"""One sending process: runs the policy in rounds, sends through the transports, and keeps the store."""
