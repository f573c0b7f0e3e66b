@promise_table_in_force
Feature: An accepted table change is in effect everywhere and never reverts
  Accepted means: committed, and each daemon has it or accepts no new work
  until it has it. A change is reported within 9 s of its request, as accepted
  or as stored and not yet in effect.

  Scenario: Hundreds of interleavings of changes and faults
    # Symptom: one daemon still serves a workspace under a limit that was
    #   removed minutes ago.
    # Sequence: operators change the table through any daemon while daemons
    #   are cut off in one or both directions, paused or restarted, and the
    #   platform is down or loses replies.
    # Cause: a daemon that can't tell whether its table is current serves
    #   nevertheless.
    When 40 seeded sessions of a fleet are played
    Then no daemon accepted work under a table older than an accepted change
    And no daemon's table reverted
    And every change was answered within 9000 ms of virtual time
    And no change was made twice
    And after all faults end every daemon has the last change

  Scenario Outline: Faults of one daemon
    # Symptom: one daemon serves under an old table, or refuses all work.
    # Sequence: a daemon <fault>; the table changes.
    # Cause: a daemon decides whether its table is current by one source alone,
    #   or by what it knew earlier.
    When a daemon <fault>
    Then no daemon accepted work under a table older than an accepted change
    And no daemon's table reverted

    Examples:
      | fault                                                      |
      | is cut off from the service but not from peers             |
      | is cut off from peers but not from the service             |
      | is cut off from both                                       |
      | is cut off from both and then fetches the table slowly     |
      | is killed, counted as dead, and replaced                   |
      | and two others are cut off from service and half the peers |
      | and two others are cut off, named by no settings, for minutes |
      | is restarted while the platform is down                    |
      | and all others restart while the table service is down     |
      | is paused for longer than every time-out                   |
      | and all others read replicas that lag                      |
      | and all others get tables slowly while it changes          |

  Scenario: Two operators change one cell
    # Symptom: a change is lost without an error.
    # Sequence: two operators read one cell and both set it.
    # Cause: the last writer wins.
    Given a cluster of 2 daemons and a plain service
    When "ana" and "bilal" both set max_in_flight of "desk" from the same table version
    Then one of them gets a conflict with the other's change and the current value
    And the history has one more entry
    And every daemon has the newest version

  Scenario: Two operators change different cells
    # Symptom: an operator has to repeat a change for no reason.
    # Sequence: two operators change different cells of one row at once.
    # Cause: the whole table is compared instead of the changed cells.
    Given a cluster of 2 daemons and a plain service
    When "ana" sets max_in_flight and "bilal" sets weight of "desk" from the same table version
    Then both changes are reported as accepted
    And every daemon has the newest version

  Scenario: The commit's reply is lost
    # Symptom: a change is made twice, or is reported as failed although it is
    #   stored.
    # Sequence: the platform commits a change and its reply is lost.
    # Cause: a commit is retried without checking whether it is stored already.
    Given a cluster of 2 daemons and a plain service
    When the platform loses the next reply
    And "ana" sets max_in_flight of "desk" to 7
    Then the command reports that the change is in effect
    And the history has one more entry

  Scenario: The first daemon is paused before it makes the change
    # Symptom: a limit reverts to a value that an operator set before somebody
    #   else's later change.
    # Sequence: the first daemon is paused; the command sends the change to the
    #   next one, which makes it; the cell is set back; the paused daemon
    #   resumes and makes the change that waited in its socket.
    # Cause: two requests of one command are treated as two changes.
    Given a cluster of 3 daemons and a plain service
    When daemon 1 is paused and "ana" sets max_in_flight of "desk" to 7 through daemon 1 or 2
    Then the command reports that the change is in effect
    When "bilal" sets max_in_flight of "desk" to 200 through daemon 2
    And daemon 1 resumes and has processed the waiting change
    Then the history has two more entries and max_in_flight of "desk" is 200

  Scenario: The table service returns older rows
    # Symptom: a limit reverts to its old value for some seconds.
    # Sequence: a change is made; reads come from a replica that lags.
    # Cause: the rows read last are treated as the newest.
    Given a cluster of 2 daemons and a plain service
    When "ana" sets max_in_flight of "desk" to 7
    And reads of the platform lag from now on
    And "ana" sets max_in_flight of "desk" to 8
    Then the command reports that the change is in effect
    And every daemon has the newest version

  Scenario: A paused daemon with a request waiting in its socket
    # Symptom: a request is served under a limit that was lowered while the
    #   daemon was stopped.
    # Sequence: the daemon gets SIGSTOP; a change is accepted; a request waits
    #   in the stopped daemon's socket; the daemon gets SIGCONT.
    # Cause: the daemon handles the request before it reads the clock.
    Given a cluster of 3 daemons and a plain service
    When daemon 3 is stopped and "ana" sets max_in_flight of "desk" to 0
    And a request waits in daemon 3's socket until the daemon resumes
    Then the request was not served under the old limit

  Scenario: Wall clocks differ
    # Symptom: the changes of the daemon with the fastest clock always win.
    # Sequence: clocks of instances differ by a minute.
    # Cause: versions or leases are compared by wall clock.
    Then no decision reads the wall clock
