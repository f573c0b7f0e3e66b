Feature: A server that leaves or requests a rest gets no unwanted requests

  Scenario: Real processes, servers that leave while they are listed as ready
    When the case "servers that report leaving get nothing more" of "withdrawing" is played

  Scenario: Real processes, servers that leave while the store is silent
    When the case "a silent store does not hide that servers leave" of "withdrawing" is played

  Scenario: Real processes, servers that leave and are listed again
    When the case "an entry that comes back does not undo leaving" of "withdrawing" is played

  Scenario: Real processes, servers that request a rest
    When the case "servers that request a rest get it" of "withdrawing" is played

  Scenario: Real processes, all servers of a service request a rest
    When the case "a service whose servers all request a rest gets it" of "withdrawing" is played

  Scenario: Real processes, a short session of signals and faults that overlap
    When the case "a short session follows the signals of servers" of "withdrawing" is played

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/availability.py.
    When the case "<case>" of "availability" is played

    Examples: decisions of the core
      | case |
      | an entry that goes and comes back keeps a server leaving |
      | another address of the same incarnation keeps a server leaving |
      | leaving of an earlier incarnation does not affect the next one |
      | leaving reported before the entry is listed counts |
      | updates on leaving name the incarnation that leaves |
      | a resting server gets nothing until its rest ends |
      | a rest is no failure of a server |
      | a rest holds while its entry is away |
      | a new incarnation inherits neither rest nor leaving |
      | leaving of a later incarnation counts once it is listed |
      | a request waits for a rest that ends before its deadline |
      | a rest that is made longer ends the wait |
      | no more requests wait for a rest than the servers have slots |
      | retry times are spread after the shortest rest |
      | no retry is spent where all servers rest |
      | a rest does not count in the dispatch interval |
      | notices kept of servers are bounded |
      | each form of a requested rest is read |
      | each spelling of leaving is read |
      | a rest that cannot be read is a short one |
      | a withheld request is placed again at no cost |
      | a notice without an incarnation applies to one alone |
      | a request that arrives as a rest ends is not refused |
      | a server without incarnation ids comes back with its entry |
      | a report of a draining server counts as leaving |
