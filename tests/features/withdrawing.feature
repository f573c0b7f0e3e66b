Feature: A server that leaves or asks for rest gets nothing that it does not want

  Scenario: Real processes, servers that leave while they are listed as ready
    When the case "servers that say that they leave get nothing more" of "withdrawing" is played

  Scenario: Real processes, servers that leave while the store is silent
    When the case "a silent store does not hide that servers leave" of "withdrawing" is played

  Scenario: Real processes, servers that leave and are listed anew
    When the case "an entry that comes back does not take leaving back" of "withdrawing" is played

  Scenario: Real processes, servers that ask for rest
    When the case "servers that ask for rest get it" of "withdrawing" is played

  Scenario: Real processes, all servers of a service ask for rest
    When the case "a service all of whose servers ask for rest gets it" of "withdrawing" is played

  Scenario: Real processes, a short session of signals and faults that overlap
    When the case "a short session keeps to what servers say" of "withdrawing" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/availability.py.
    When the case "<case>" of "availability" is played

    Examples: decisions of the core
      | case |
      | an entry that goes and comes back keeps a server leaving |
      | another address of the same start keeps a server leaving |
      | a peer told of a start before does not take the next one out |
      | a peer told before the entry is listed is believed |
      | news of leaving name the start that leaves |
      | a server that rests gets nothing until then |
      | a rest is no failure of a server |
      | a rest holds while its entry is away |
      | a server that starts again has asked for nothing |
      | what a later start said holds once it is listed |
      | a request waits for a rest that ends in its time |
      | a rest that is made longer ends the wait |
      | no more wait for a rest than the servers take |
      | callers return spread after the least rest |
      | no retry is spent where all servers rest |
      | a rest says nothing of how fast turns come |
      | what is kept of servers is bounded |
      | each way to ask for rest is read |
      | each spelling of leaving is read |
      | a rest that cannot be read is a short one |
      | what was not sent is placed anew and costs nothing |
      | a word that names no start ends with the one it met |
      | who arrives as a rest ends is not refused for the wait |
      | a server whose starts have no names comes back with its entry |
      | a report of a draining server says that it leaves |
