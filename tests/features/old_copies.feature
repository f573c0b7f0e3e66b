Feature: Decisions rest on copies of the store's rows that are recent enough

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/old_copies.py states the failure that
    # it guards against.
    When the case "<case>" of "<group>" is played

    Examples: by what a daemon has read
      | group      | case |
      | old_copies | reads that lag do not prolong a revoked key |
      | old_copies | reads that lag do not make old weights look recent |
      | old_copies | a silent second of the feed leaves keys and weights in time |
      | old_copies | a snapshot of several pages is as old as its first |
      | old_copies | a snapshot that repairs missed rows takes effect |
      | old_copies | a store with another clock dates its answers |
      | old_copies | an old table does not refuse an added key for good |
      | old_copies | a server that leaves is read in time without readers |
      | old_copies | lost history is read in time by daemons that do not poll |
      | old_copies | a missed removal is noticed after lost history |
      | old_copies | a missed removal is noticed after a list of several pages |
      | old_copies | a belief of the daemon's own list confirms it |

    Examples: real processes
      | group           | case |
      | old_copies_real | weights named in a silent second are used in time |
      | old_copies_real | a server that leaves unheard gets no requests after its drain |
      | old_copies_real | unknown limits refuse nothing for good |
      | old_copies_real | limits of an old table refuse nothing for good |
