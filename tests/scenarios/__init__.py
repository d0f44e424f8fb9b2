"""Run the scenarios of the feature files."""
