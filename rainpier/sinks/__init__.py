"""Where the ends of undelivered messages go."""
