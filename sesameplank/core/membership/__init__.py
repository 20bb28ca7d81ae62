"""Which processes are running, and what each of them does for the others."""
