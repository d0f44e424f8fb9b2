"""Hold the configuration: what is accepted, how it changes and is stored."""
