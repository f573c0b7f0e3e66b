Feature: A fleet in which not everybody hears everything

  Scenario Outline: A lost daemon is noticed by all
    # Symptom: `where` names a daemon that is gone, for most of a minute.
    # Sequence: one of <daemons> daemons <trouble>.
    # Cause: a member that failed a probe is asked again only in its turn.
    Given a fleet of <daemons> daemons on virtual time
    When one of its daemons <trouble>
    Then no other daemon counts it as live after 6 s

    Examples:
      | daemons | trouble         |
      | 9       | is killed       |
      | 40      | is killed       |
      | 120     | is paused       |
      | 40      | hears nobody    |

  Scenario: Parts of the fleet lose each other and meet again
    # Symptom: after an hour without the link between two sites, each site
    #   stays by itself for another minute.
    # Sequence: a fifth of the fleet is cut off for 30 s.
    # Cause: nobody is told that it is held dead.
    Given a fleet of 40 daemons on virtual time
    When 8 daemons are cut off from the others for 30 s
    Then every daemon counts every other as live after 5 s

  Scenario: The instance list is read by three daemons
    # Symptom: a daemon sends work to a server that left, or to none.
    # Sequence: servers come and go while news is lost, a reader dies, a daemon
    #   is cut off from its peers, and the platform is down for a while.
    # Cause: news of the list taken for certain, or a reader for immortal.
    Given a fleet of 40 daemons on virtual time
    When servers come and go while <news is lost, readers die, links are cut>
    Then every daemon has the platform's list
    And the list was read fewer than 1000 times in 180 s

  Scenario Outline: A leaving server is known to all within 3 s
    # Symptom: an engine that is about to stop still gets prompts.
    # Sequence: one of 20 engines is leaving, <told>; nobody else sees it.
    # Cause: told to the daemons of its model, or with the next probe only.
    Given a fleet of <daemons> daemons on virtual time
    When one of its servers is leaving <told>
    Then every daemon counts it as leaving after 3 s

    Examples:
      | daemons | told                    |
      | 9       | by its own word         |
      | 9       | by the platform's list  |
      | 40      | by its own word         |
      | 40      | by the platform's list  |

  Scenario: A workspace's demand is told to those that split its limit
    # Symptom: a limit of 100 lets 150 through, or only 30.
    # Sequence: a workspace's callers use its three daemons, and one uses a
    #   daemon of its own choice.
    # Cause: demand told to everyone, or to the three only.
    Given a fleet of 40 daemons on virtual time
    When workspace "desk" wants more than its limit of 100 at its three daemons and a fourth
    Then these let 90 to 125 through before they have heard of each other
    And the shares of the four add up to at most 100 and to at least 95
    And no other daemon was told of the demand

  Scenario: Duties are spread evenly
    # Symptom: one daemon of 340 uses twice the processor time of the others.
    # Sequence: 340 daemons, 15 models; daemons and models come and go.
    # Cause: each model picks its daemons, some of which five models pick.
    Then of 340 daemons each serves 1 of 15 models, and each model has 12 or more
    And a daemon that goes moves no other
