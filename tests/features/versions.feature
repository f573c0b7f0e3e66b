Feature: Streams while two software versions serve

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/versions.py states the failure that it
    # guards against.
    When the case "<case>" of "versions" is played

    Examples: real processes
      | case |
      | a stream goes on inside its answer at its version |
      | a stream that a client takes up keeps its version |
      | a stream taken up twice keeps its version |
      | a stream outlives its daemon at its version |
      | a stream that nobody knows is not resumed |
