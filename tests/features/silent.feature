Feature: Answers outlast backend servers that fall silent for a moment

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/silent_servers.py states the failure
    # that it guards against.
    When the case "<case>" of "silent_servers" is played

    Examples: real processes
      | case |
      | answers outlast a silence of all servers |
      | a pause of daemons is no silence of servers |
      | a short session of silences keeps all promises |

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
      | a stream of our own interface outlasts a silence |
      | a silent attempt is kept until another brings an event |
      | a silent server that goes on first keeps its stream |
      | an answer keeps the head of the server that begins it |
      | a server that may be silent too is probed first |
      | a second attempt that fails leaves the silent one |
      | a silent attempt that fails leaves the second one |
      | a call gets the first answer |
      | a caller that leaves ends all attempts |
      | the time limit of a route ends all attempts |
      | what may run once is sent to one server |
      | a stream runs on no more servers than its route allows |
      | a removed server ends the wait |
      | a server that goes on is used again at once |
      | a pause of the daemon is no silence of its servers |
      | a stream outlasts a silence without a serving lease |
      | a silence is no crash of a part |
      | a server that ends in a silence counts what it ran |
