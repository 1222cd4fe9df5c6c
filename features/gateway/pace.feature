Feature: Expected times of answers decide where requests go and whether an answer is given up

  Scenario Outline: A ready answer is given up only for one that ends in time
    Given a route with the models small, middle and large
    And the large model's answer would <large> and the middle model's would <middle>
    When the small model answers with a confidence of <confidence>
    Then <result>

    Examples:
      | confidence | large                 | middle                | result                    |
      | 60         | begin and end in time | begin and end in time | its answer is forwarded   |
      | 40         | begin and end in time | begin and end in time | the large model is asked  |
      | 40         | begin barely in time  | begin and end in time | its answer is forwarded   |
      | 40         | end too late          | begin and end in time | the middle model is asked |
      | 10         | begin barely in time  | begin and end in time | the large model is asked  |
      | 10         | begin late            | begin and end in time | its answer is forwarded   |
      | 10         | end too late          | begin barely in time  | the middle model is asked |
      | 10         | end too late          | end too late          | its answer is forwarded   |

  Scenario: An answer that is too short of time is not given up, and the caller gets it
    Given a gateway with two upstreams
    And the smaller model's confidence is 10
    When streams of the large model have taken 30 s, and a caller opens a stream at /stream/1
    Then the answer comes from the model small after 1 runs

  Scenario Outline: The rate at which prompts are processed is learned, within bounds, and forgotten
    Given a service whose first events have come <first> s after 20000 queued tokens, 12 times
    Then after <age> s a first event after 20000 queued tokens is expected within <low> s to <high> s

    Examples:
      | first | age | low | high |
      | 0.52  | 0   | 0.5 | 0.6  |
      | 3.12  | 0   | 3.0 | 3.2  |
      | 90    | 0   | 4.9 | 5.0  |
      | 0     | 0   | 0.1 | 0.2  |
      | 3.12  | 60  | 1.2 | 1.4  |

  Scenario: The duration of streams is learned by model, also from streams that were cut
    Given a service whose streams of 100 tokens took 2 s with the model small and 8 s with large
    Then a stream of 200 tokens is expected to take 4 s with small, 16 s with large and 0 s with another
    And after 20 streams with large that were cut after 30 s it is expected to take more than 40 s
    And after 20 streams with small that were cut after 1 s it is expected to take 4 s

  Scenario: Gateways that know of each other's prompts late agree on the upstreams of a prompt
    Given 12 upstreams of a service with a small and a large model
    When two gateways place the same 40 prompts while the first upstream of each is busy
    Then they choose the same upstream for at least 38 of them

  Scenario: A slow upstream gets less work, not none, and more again once it is fast
    Given 6 upstreams, of which u2 takes 4 times as long from 10 s to 30 s
    When for 50 s 30 prompts of 6000 tokens arrive per second at one gateway
    Then u2 gets between 2 in 100 and 60 in 100 of a fair share from 15 s to 30 s
    And it gets at least 60 in 100 of a fair share from 42 s to 50 s
    And with it the 99th percentile of the waits from 15 s to 30 s is shorter than without

  Scenario: A slow upstream of plain requests gets fewer of them
    Given 5 upstreams of a plain service, of which u2 takes 4 times as long
    When for 20 s 60 plain requests of 20 ms arrive per second
    Then u2 gets at most 12 in 100 of the requests, and some within each 10 s

  Scenario Outline: An overloaded largest model gets only what it can answer about in time: <load> in 100 of its capacity
    Given a large model whose upstreams can answer 10 requests per second within a goal of 3 s
    When for 60 s requests that are too hard for the small model arrive at <load> in 100 of this rate
    Then at least <share> in 100 of the callers get the large model's answer within the goal
    And without the limit on lateness fewer than <without> in 100 do

    Examples:
      | load | share | without |
      | 80   | 98    | 101     |
      | 130  | 60    | 40      |
      | 200  | 40    | 20      |

  Scenario Outline: A middle model is asked first where this costs less, its failures included: <case>
    Given a route with the models small, middle and large
    And the middle model costs <cost> of the large one, and <share> in 100 of its answers are confident
    When the small model answers with a confidence of 40
    Then the <model> model is asked

    Examples:
      | case              | cost | share | model  |
      | cheap and good    | 0.4  | 70    | middle |
      | cheap and poor    | 0.4  | 30    | large  |
      | good and costly   | 0.8  | 70    | large  |

  Scenario Outline: A middle model's answer is forwarded from a lower confidence on: <confidence>
    Given a route with the models small, middle and large
    And the middle model costs 0.4 of the large one, and 70 in 100 of its answers are confident
    When the middle model answers with a confidence of <confidence>
    Then <result>

    Examples:
      | confidence | result                   |
      | 35         | its answer is forwarded  |
      | 20         | the large model is asked |

  Scenario: Whether a middle model is confident is learned by the small model's confidence, and forgotten
    Given a table of escalations
    When 60 answers of the middle model after a confidence of 40 weren't confident, and 60 after 10 were
    Then at most 15 in 100 confident answers are expected after 40, and at least 85 after 10
    And 10 minutes later about as many as if nothing was learned

  # With two models only, requests that are a little too hard for the small one take the large one's
  # time, and the others are late or get the small model's answer.
  Scenario Outline: More callers of an overloaded large model get a good answer in time with a middle model: <load>
    Given models of qualities 0.54, 0.64 and 1.0, whose answers cost 0.07, 0.48 and 1.0
    When for 120 s requests of any difficulty up to 0.9 arrive at <load> in 100 of the large model's capacity
    Then at least 1 in 100 more callers get a good answer in time than without the middle model

    Examples:
      | load |
      | 150  |
      | 200  |
      | 300  |

  Scenario: At usual load answers cost less with a middle model
    Given models of qualities 0.54, 0.64 and 1.0, whose answers cost 0.07, 0.48 and 1.0
    When for 120 s requests of any difficulty up to 0.9 arrive at 80 in 100 of the large model's capacity
    Then the answers cost less than without the middle model
