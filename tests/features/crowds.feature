Feature: Clients that keep to no limit

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/crowds.py states the failure that it
    # guards against. The daemon stays within the memory and the descriptors of
    # its machine, and serves an ordinary request afterwards.
    When the case "<case>" of "crowds" is played

    Examples: real processes
      | case |
      | large chunks stop short of the end |
      | tiny chunks without end |
      | bodies stop short of their length |
      | expected continuations stop short of the end |
      | chunk extensions without end |
      | trailers without end |
      | header lines without end |
      | one header without end |
      | request lines without end |
      | unfinished heads of long lines |
      | empty lines before a request |
      | long answers are read slowly |
      | streams are read slowly |
      | pipelined requests whose answers are not read |
      | bodies sent on after a refusal |
      | connections that send nothing |
      | heads without end at the directory |
      | heads without end at the ready address |
      | heads without end at the control address |
      | heads without end at the metrics address |
      | a short session of crowds and faults |
