Feature: Short and long prompts run on engines of their own

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/length_routing.py.
    When the case "<case>" of "length_routing" is played

    Examples: placement
      | case |
      | long prompts stay off the engines of short ones |
      | prompts are mixed without the setting |
      | two engines are not split |
      | short prompts use other engines rather than be refused |
      | the split follows the need of both kinds |
      | an answer counts for the split |
      | queued short prompts leave the engines of long ones to these |
      | queued long prompts are sent while short ones wait |
      | without a split all prompts share one order |
      | daemons with other requests split alike |
      | a full engine of long prompts has a long wait |
      | prompts announced since a report count |
      | a changed split is logged once a second |
