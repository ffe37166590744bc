"""What tools/scripts/fleet-run is made of; docs/FLEET-RUN.md describes it."""
