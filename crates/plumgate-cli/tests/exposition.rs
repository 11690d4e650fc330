//! Reading of metrics pages, of which lines may be damaged.

#[path = "../src/exposition.rs"]
#[allow(dead_code, reason = "the command uses more of it")]
mod exposition;

use exposition::{LineError, MetricsPage};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use quickcheck::quickcheck;

const PAGE: &str = include_str!("pages/gateway.txt");

fn errors(text: &str) -> Vec<(usize, LineError)> {
    MetricsPage::parse(text).errors().to_vec()
}

/// Guards against a line that is misread as another value instead of being reported.
#[test]
fn unreadable_lines_are_reported_with_their_number() {
    use LineError::{Duplicate, Labels, Name, NoEnd, Number};
    let lines = [
        ("1up 1", Name),
        ("{a=\"b\"} 1", Name),
        ("up{a=\"b\" 1", Labels),
        ("up{a=b} 1", Labels),
        ("up{a=\"b\"c=\"d\"} 1", Labels),
        ("up{a=\"b\",a=\"c\"} 1", Labels),
        ("up{a=\"\\x\"} 1", Labels),
        ("up", Number),
        ("up{a=\"b\"}1", Number),
        ("up 1 2", Number),
        ("up NaN", Number),
        ("up +Inf", Number),
        ("down{a=\"b\"} 1\ndown{a=\"b\"} 2", Duplicate),
    ];
    for (line, error) in lines {
        let number = line.lines().count();
        let text = format!("{line}\n# EOF\n");
        assert_eq!(errors(&text), [(number, error)], "{line}");
    }
    assert_eq!(errors("up 1\n# EOF\nup 2\n"), [(3, Duplicate), (4, NoEnd)]);
    assert_eq!(errors(""), [(1, NoEnd)]);
}

#[test]
fn labels_are_unescaped() {
    let page = MetricsPage::parse("up{a=\"b,}\\\"\\\\\\n\",c=\"\",} 1.5\n# EOF\n");
    let (labels, value) = page.values("up").next().expect("a value");
    assert_eq!(
        (labels["a"].as_str(), labels["c"].as_str()),
        ("b,}\"\\\n", "")
    );
    assert_eq!(value, 1.5);
}

quickcheck! {
    /// Guards against a label's text from outside that ends a line of a metrics page, or is read as another one.
    fn any_label_is_read_back_from_its_page(text: String) -> bool {
        let requests = Family::<Vec<(String, String)>, Counter>::default();
        let labels = vec![("pool".to_owned(), text.clone())];
        requests.get_or_create(&labels).inc();
        let mut registry = Registry::default();
        registry.register("requests", "Requests", requests);
        let mut page = String::new();
        encode(&mut page, &registry).expect("a page");
        let page = MetricsPage::parse(&page);
        let mut values = page.values("requests_total");
        let is_same = values.next().is_some_and(|(labels, _)| labels["pool"] == text);
        is_same && page.errors().is_empty()
    }
}

/// Guards against panics, and lines that are dropped silently, on damaged pages.
#[test]
fn every_line_of_a_damaged_page_is_read_or_reported() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = PAGE.as_bytes().to_vec();
        for _ in 0..rng.usize(1..50) {
            let position = rng.usize(..bytes.len());
            bytes[position] = *rng.choice(b"{}\"\\=,#\n x\xc3").expect("a byte");
        }
        bytes.truncate(rng.usize(..=bytes.len()));
        let text = String::from_utf8_lossy(&bytes);
        let page = MetricsPage::parse(&text);
        let samples = text
            .lines()
            .filter(|line| !line.is_empty() && !line.starts_with('#'));
        let values: usize = page.samples.values().map(|values| values.len()).sum();
        let is_end = |(_, error): &&(usize, LineError)| *error == LineError::NoEnd;
        let end_errors = page.errors().iter().filter(is_end).count();
        let reported = page.errors().len() - end_errors;
        assert_eq!(samples.count(), values + reported, "seed {seed}");
    }
    assert_eq!(errors(PAGE), []);
}
