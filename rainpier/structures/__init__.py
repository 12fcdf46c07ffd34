"""Data structures that the policy uses; general-purpose, without I/O."""
