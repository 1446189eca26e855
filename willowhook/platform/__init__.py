"""The director on the platform's protocol: streams, discovery, clock, signals round the decision module."""
