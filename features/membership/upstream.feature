Feature: The newest information about an upstream takes precedence

  Events: "b1:warm@10" is a report of run b1 of the agent, taken at 10 s; "list:leaving@11" is the
  platform's list of VMs as of 11 s; "notice:b1" is a leaving notice for run b1; "wait:6" waits for
  6 s; "answer" is a successful attempt. A report arrives 0.5 s after it was taken. The events are
  applied in the order given.

  Scenario Outline: Whether an upstream takes work after a series of events
    Given an upstream with events "<events>"
    Then it is <state>

    Examples: reports
      | events                                          | state       |
      |                                                 | open, cold  |
      | b1:warm@10                                      | open, warm  |
      | b1:warm@10 b1:cold@12 b1:warm@11                | open, cold  |
      | b1:draining@10                                  | closed      |
      | b1:draining@10 b1:warm@9                        | closed      |
      | b1:draining@10 b1:warm@11                       | closed      |
      | b1:draining@10 b2:cold@11                       | open, cold  |
      | b1:draining@10 b2:cold@4                        | open, cold  |
      | b1:warm@10 b2:cold@11 b1:draining@12            | open, cold  |
      | b1:warm@10 b2:cold@11 b1:warm@13                | open, cold  |
      | b1:down@10                                      | closed      |
      | b1:down@10 b1:warm@11                           | open, warm  |

    Examples: the lagging list of VMs
      | events                                          | state       |
      | list:leaving@10                                 | closed      |
      | list:leaving@10 list:live@11                    | open, cold  |
      | list:leaving@10 list:live@9                     | closed      |
      | list:leaving@10 b1:warm@11                      | closed      |
      | b1:draining@10 list:live@20                     | closed      |
      | b1:warm@10 list:leaving@11 b2:cold@12           | open, cold  |
      | b1:warm@10 b2:cold@12 list:leaving@11           | open, cold  |
      | b1:warm@10 b2:cold@12 list:leaving@14           | closed      |

    Examples: leaving notices
      | events                                          | state       |
      | b1:warm@10 notice:b1                            | closed      |
      | b1:warm@10 notice:b1 list:live@12               | closed      |
      | b1:warm@10 notice:b1 b1:warm@20                 | closed      |
      | b1:warm@10 notice:b1 b2:cold@20                 | open, cold  |
      | b1:warm@10 b2:cold@11 notice:b1                 | open, cold  |
      | notice:b1 b1:warm@10                            | closed      |
      | notice:b1 b2:cold@10                            | open, cold  |
      | b1:warm@10 notice:b2 b2:warm@11                 | closed      |
      | b1:warm@10 notice:any                           | closed      |
      | b1:warm@10 b1:draining@11 notice:b0 b1:warm@12  | closed      |

    Examples: heartbeats
      | events                                          | state       |
      | wait:100                                        | open, cold  |
      | b1:warm@10 wait:4                               | open, warm  |
      | b1:warm@10 wait:6                               | closed      |
      | b1:warm@10 wait:4 answer wait:4                 | open, warm  |
      | b1:warm@10 wait:6 b1:warm@17                    | open, warm  |
      | b1:draining@10 wait:6 b1:warm@17                | closed      |

  Scenario: Silent upstreams are probed at a bounded rate
    Given 300 upstreams that became silent at the same time
    When the system runs every 50 ms for 60 s
    Then between 400 and 1200 probes were sent, at most 21 in any second
    And every upstream was probed at least once

  Scenario: A report of other loaded versions updates the index of upstreams by version
    Given 3 upstreams that serve v1 and v2
    When upstream "d/u1" reports that it serves v2 only
    Then candidates for v1 are "d/u0 d/u2" and for v2 "d/u0 d/u1 d/u2"
