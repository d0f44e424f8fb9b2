"""Find out which hosts of a data centre take part, and pass news on."""
