Feature: Odd values from other writers

  Scenario Outline: <case>
    # Each case's docstring in tests/cases states the failure that it guards
    # against, or its symptom, sequence and cause.
    When the case "<case>" of "<group>" is played

    Examples: texts
      | group       | case |
      | odd_entries | an odd address names no server |
      | odd_entries | an odd id names no server |
      | odd_entries | an odd entry of a peer is left out |
      | odd_entries | an odd start takes no server's address |
      | odd_entries | an odd number in text is no number |
      | odd_entries | an odd idle limit loses no answer |
      | odd_entries | a head that can't be sent is not sent |
      | odd_entries | an odd store of cached state is left out |
      | odd_entries | an odd table is not passed on |
      | odd_entries | odd settings get one line |

    Examples: numbers
      | group       | case |
      | odd_entries | odd counts of a server are not taken |
      | odd_entries | an odd cache event hides no others |
      | odd_entries | a list of odd items is left at the first |
      | odd_entries | numbers out of range are sent to peers |
      | odd_entries | an update that can't be sent stops no others |
      | odd_entries | odd crash rows are skipped |

    Examples: answers of the store
      | group       | case |
      | odd_entries | an odd row hides no row beside it |
      | odd_entries | thousands of odd rows are decoded once |
      | odd_entries | an odd lease row stops no roll out |
      | odd_entries | odd rows of our own store are errors |

    Examples: real processes
      | group       | case |
      | odd_entries | odd entries stop no daemon |
      | odd_entries | odd ids and keys of callers are refused |
      | odd_entries | an odd configuration leaves the older one in force |
      | odd_entries | odd entries of our own list stop no daemon |
