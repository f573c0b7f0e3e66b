Feature: Answers outlast backend servers that fall silent for a moment

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/silent_servers.py states the failure
    # that it guards against.
    When the case "<case>" of "silent_servers" is played

    Examples: real processes
      | case |
      | answers outlast a silence of all servers |

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/silent.py states the failure that it
    # guards against.
    When the case "<case>" of "silent" is played

    Examples: decisions of the core
      | case |
      | a stream outlasts a silence of all servers |
      | a stream without further attempts outlasts a silence |
      | a stream without retry budget outlasts a silence |
      | a request without an answer outlasts a silence of all servers |
      | a pause between events ends nothing |
