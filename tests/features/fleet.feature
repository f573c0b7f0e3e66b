Feature: Membership, instance list and demand in a large fleet

  Scenario Outline: A lost daemon is noticed by all
    # Guards against a `where` that names a lost daemon for most of a minute.
    # Sequence: one of <daemons> daemons <fault>.
    # Cause: a member that failed a probe is probed again only in its turn.
    Given a fleet of <daemons> daemons on virtual time
    When one of its daemons <fault>
    Then no other daemon counts it as live after 6 s

    Examples:
      | daemons | fault            |
      | 9       | is killed        |
      | 40      | is killed        |
      | 120     | is paused        |
      | 40      | receives nothing |

  Scenario: A partitioned fleet reunites
    # Guards against sites that stay separate for another minute after an hour
    #   without the link between them.
    # Sequence: a fifth of the fleet is cut off for 30 s.
    # Cause: no member is notified that others consider it dead.
    Given a fleet of 40 daemons on virtual time
    When 8 daemons are cut off from the others for 30 s
    Then every daemon counts every other as live after 5 s

  Scenario: The instance list is read by three daemons
    # Guards against a daemon that sends work to a server that left, or to none.
    # Sequence: servers come and go while updates are lost, a reader dies, a
    #   daemon is cut off from its peers, and the platform is down for a while.
    # Cause: updates of the list, or its readers, assumed to be reliable.
    Given a fleet of 40 daemons on virtual time
    When servers come and go while <updates are lost, readers die, links are cut>
    Then every daemon has the platform's list
    And the list was read fewer than 1000 times in 180 s

  Scenario Outline: A leaving server is known to all within 3 s
    # Guards against prompts sent to an engine that is about to stop.
    # Sequence: one of 20 engines is leaving, <source>; nothing else shows it.
    # Cause: announced only to the daemons of its model, or with the next probe.
    Given a fleet of <daemons> daemons on virtual time
    When one of its servers is leaving <source>
    Then every daemon counts it as leaving after 3 s

    Examples:
      | daemons | source                  |
      | 9       | by its own report       |
      | 9       | by the platform's list  |
      | 40      | by its own report       |
      | 40      | by the platform's list  |

  Scenario: A workspace's demand is sent to the daemons that split its limit
    # Guards against a limit of 100 that admits 150 requests, or only 30.
    # Sequence: a workspace's callers use its three daemons, and one uses a
    #   daemon of its own choice.
    # Cause: demand sent to all daemons, or only to the three.
    Given a fleet of 40 daemons on virtual time
    When workspace "desk" demands more than its limit of 100 at its three daemons and a fourth
    Then these admit 90 to 125 requests before they know of each other
    And the shares of the four add up to at most 100 and to at least 95
    And no other daemon received the demand

  Scenario: Assignments are spread evenly
    # Guards against one daemon of 340 that uses twice the processor time of the
    #   others.
    # Sequence: 340 daemons, 15 models; daemons and models come and go.
    # Cause: each model picks its daemons, some of which five models pick.
    Then of 340 daemons each serves 1 of 15 models, and each model has 12 or more
    And a daemon that leaves changes no other assignment
