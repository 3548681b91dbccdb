//! Load reports: long ones go into several datagrams, and nothing malformed is applied.

use std::time::{Duration, Instant};

use model::{fraction, id, limit};
use node::gateway::{demand_metrics, load_report, loads};
use prost::Message as _;
use steer::common::ramp;
use steer::dispatch::pace;
use steer::dispatch::peer_load;
use steer::dispatch::quota::usage;
use steer::dispatch::region::demand::{Demand, report as demand};
use steer::dispatch::upstream_limit::{self, announcement::Announcement};
use steer::dispatch::{region, seconds};
use wire::gateway::loads as message;

/// Guards against gauges that are written where no demand is known, and against labels that break the
/// format.
#[test]
fn demand_is_written_as_gauges() {
    let gauges = demand_metrics::Gauges::default();
    let mut text = String::new();
    gauges.write(&mut text);
    assert_eq!(text, "");
    let mut demand = Demand::default();
    demand.set_mode(region::demand::Mode::Auto);
    let regions = ["north", "so\"uth"].map(id::Region::new);
    let service = id::Service::new("desk");
    let now = Instant::now();
    let rate = |region| demand::Rate { key: demand::Key::of(region, &service), per_second: 2.5 };
    demand.receive(id::Node::new("+all"), regions.iter().map(rate).collect(), now);
    let limit = ramp::Limit { share: fraction::Fraction::ONE, window: Duration::from_secs(2) };
    let capacity = |_: &id::Service| region::demand::Capacity {
        regions: Vec::new(),
        work: seconds::Seconds(0.1),
    };
    demand.tick(&regions[0], &regions, [&service].into_iter(), limit, capacity, now);
    gauges.set(&demand);
    gauges.write(&mut text);
    let expected = "# TYPE yokespoke_demand_per_second gauge\n\
        yokespoke_demand_per_second{service=\"desk\",region=\"north\"} 2.5\n\
        yokespoke_demand_per_second{service=\"desk\",region=\"so\\\"uth\"} 2.5\n";
    assert_eq!(text, expected);
}

fn in_flight(count: u32) -> Vec<(peer_load::Key, u32)> {
    (0..count).map(|number| (peer_load::Key(number), 1 + number % 7)).collect()
}

fn of_requests(requests: &[(peer_load::Key, u32)]) -> loads::Content {
    loads::Content { requests: requests.to_vec(), ..loads::Content::default() }
}

fn of_usages(usages: &[usage::Usage]) -> loads::Content {
    loads::Content { usages: usages.to_vec(), ..loads::Content::default() }
}

/// Returns the names of a report's parts, and all that they say.
fn read(datagrams: &[Vec<u8>]) -> (Vec<String>, Vec<(peer_load::Key, u32)>) {
    let mut names = Vec::new();
    let mut said = Vec::new();
    for datagram in datagrams {
        assert_eq!(datagram[0], message::MARK);
        assert!(datagram.len() < 16_384, "{} bytes", datagram.len());
        let loads = message::Loads::decode(&datagram[1..]).expect("a report");
        names.push(loads.node);
        said.extend(loads.upstreams.into_iter().map(peer_load::Key).zip(loads.requests));
    }
    (names, said)
}

#[test]
fn a_long_report_is_split_and_nothing_is_cut() {
    let node = id::Node::new("n-1");
    for (count, parts) in [(0, 1), (1, 1), (1_000, 1), (1_001, 2), (10_000, 10)] {
        let sent = in_flight(count);
        let (names, said) = read(&loads::encode(&node, &of_requests(&sent)));
        assert_eq!((names.len(), said), (parts, sent));
        assert_eq!(names[0], "n-1");
        assert!(names[1..].iter().enumerate().all(|(n, name)| *name == format!("n-1#{}", n + 1)));
    }
}

fn usage(key: u32) -> usage::Usage {
    usage::Usage {
        asked: 12.5,
        admitted: 7.25,
        excess: 3.0,
        debt: 40.5,
        is_near: true,
        ..usage::Usage::idle(usage::Key(key))
    }
}

#[test]
fn what_organisations_ask_is_read_as_it_was_written() {
    let sent = vec![usage(1), usage(7)];
    let datagrams = loads::encode(&id::Node::new("n-1"), &of_usages(&sent));
    let report = load_report::Report::read(&datagrams[0][1..]).expect("a report");
    assert_eq!(report.content.usages, sent);
}

#[test]
fn a_node_of_an_earlier_version_counts_as_admitting_what_is_asked() {
    let datagrams = loads::encode(&id::Node::new("n-1"), &of_usages(&[usage(1)]));
    let mut loads = message::Loads::decode(&datagrams[0][1..]).expect("a report");
    (loads.admitted, loads.excess, loads.debts) = (Vec::new(), Vec::new(), Vec::new());
    let report = load_report::Report::read(&loads.encode_to_vec()).expect("a report");
    let expected = usage::Usage { admitted: 12.5, excess: 0.0, debt: 0.0, ..usage(1) };
    assert_eq!(report.content.usages, [expected]);
    loads.excess = vec![1];
    assert!(load_report::Report::read(&loads.encode_to_vec()).is_err(), "lists of other lengths");
}

#[test]
fn limits_and_what_is_sent_to_their_upstreams_are_read_as_they_were_written() {
    let announcement = |upstream: u32, limit: Option<f64>| Announcement {
        upstream: peer_load::Key(upstream),
        limit: limit.map(|rate| limit::Rate::new(rate).expect("a rate")),
        age: Duration::from_millis(u64::from(upstream)),
    };
    let limits = upstream_limit::Report {
        announcements: (0..600)
            .map(|n| announcement(n, (n % 3 > 0).then(|| f64::from(n) / 10.0)))
            .collect(),
        usages: (0..300).map(usage).collect(),
    };
    let sent = loads::Content { limits: limits.clone(), ..of_usages(&[usage(1)]) };
    let datagrams = loads::encode(&id::Node::new("n-1"), &sent);
    let mut said = upstream_limit::Report::default();
    for datagram in &datagrams {
        assert!(datagram.len() < 16_384, "{} bytes", datagram.len());
        let report = load_report::Report::read(&datagram[1..]).expect("a report");
        said.announcements.extend(report.content.limits.announcements);
        said.usages.extend(report.content.limits.usages);
    }
    assert_eq!((datagrams.len(), said), (3, limits));
}

/// Guards against reports of the previous build that are refused, since they carry no demand, and
/// against demand in a form that the previous build cannot skip.
#[test]
fn demand_is_read_as_it_was_written_and_older_reports_have_none() {
    let node = id::Node::new("n-1");
    let rate =
        |key: u32| demand::Rate { key: demand::Key(key), per_second: f64::from(key) / 4.0 + 0.25 };
    let rates: Vec<demand::Rate> = (0..600).map(rate).collect();
    let sent = loads::Content { demand: rates.clone(), ..of_requests(&in_flight(3)) };
    let datagrams = loads::encode(&node, &sent);
    let mut said = Vec::new();
    for datagram in &datagrams {
        let report = load_report::Report::read(&datagram[1..]).expect("a report");
        said.extend(report.content.demand);
    }
    assert_eq!((datagrams.len(), said), (3, rates));
    let without = loads::encode(&node, &of_requests(&in_flight(3)));
    let report = load_report::Report::read(&without[0][1..]).expect("a report");
    assert!(report.content.demand.is_empty());
    assert!(datagrams[0].len() > without[0].len());
    // The previous build knows the fields up to 12, and skips others.
    #[derive(Clone, PartialEq, prost::Message)]
    struct Previous {
        #[prost(string, tag = "1")]
        node: String,
        #[prost(uint32, repeated, tag = "3")]
        requests: Vec<u32>,
    }
    let previous = Previous::decode(&datagrams[0][1..]).expect("it skips what it does not know");
    assert_eq!((previous.node.as_str(), previous.requests.len()), ("n-1", 3));
}

/// Guards against bytes where no upstream is slow, and against lists that do not match.
#[test]
fn slow_upstreams_are_read_as_they_were_written() {
    let node = id::Node::new("n-1");
    let slow = |number| pace::Slow { upstream: peer_load::Key(number), percent: 150 + number };
    let sent = loads::Content { slow: (0..3).map(slow).collect(), ..of_requests(&in_flight(2)) };
    let datagrams = loads::encode(&node, &sent);
    let report = load_report::Report::read(&datagrams[0][1..]).expect("a report");
    assert_eq!((datagrams.len(), &report.content), (1, &sent));
    let none = message::Loads::decode(&loads::encode(&node, &of_requests(&in_flight(2)))[0][1..]);
    assert_eq!(none.expect("a report").slow, None);
    let slow = Some(message::SlowUpstreams { upstreams: vec![1], percents: Vec::new() });
    let uneven = message::Loads { slow, ..message::Loads::default() };
    assert_eq!(
        load_report::Report::read(&uneven.encode_to_vec()),
        Err(loads::Malformed::Uneven(1, 0))
    );
}

#[test]
fn demand_with_lists_of_different_lengths_is_malformed() {
    let demand = Some(message::Demand { keys: vec![1, 2], rates: vec![1] });
    let loads = message::Loads { demand, ..message::Loads::default() };
    assert_eq!(
        load_report::Report::read(&loads.encode_to_vec()),
        Err(loads::Malformed::Uneven(2, 1))
    );
}

#[test]
fn a_limit_that_is_no_rate_and_uneven_lists_are_malformed() {
    let limits = |rates: &[f64]| message::Loads {
        limits: Some(message::Limits { upstreams: vec![1], rates: rates.to_vec(), ages: vec![0] }),
        ..message::Loads::default()
    };
    let read = |loads: &message::Loads| load_report::Report::read(&loads.encode_to_vec());
    assert!(read(&limits(&[0.5])).is_ok());
    for rates in [&[f64::NAN][..], &[f64::INFINITY], &[], &[1.0, 2.0]] {
        assert!(read(&limits(rates)).is_err(), "{rates:?}");
    }
}
