"""Know whose request it is, how old that knowledge is, and how many go on."""
