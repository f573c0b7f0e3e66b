"""Commands of the program, a verb each."""
