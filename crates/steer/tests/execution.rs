//! What an upstream's answer proves about the request.

use model::head;
use model::statement;
use steer::dispatch::execution::{Execution, Fault, Requirements, execution, fault};

const STRICT: Requirements = Requirements { request_id: true, seal: true };
const LAX: Requirements = Requirements { request_id: false, seal: false };

fn answer(status: u16) -> head::Response<'static> {
    let request_id = Some("id");
    head::Response {
        status,
        request_id,
        is_sealed: true,
        states_not_run: false,
        statement: statement::Statement::default(),
    }
}

#[test]
fn a_statement_counts_with_any_refusal_but_not_with_a_success() {
    for status in [400, 404, 408, 429, 500, 502, 503] {
        let stated = head::Response { states_not_run: true, ..answer(status) };
        assert_eq!(execution(&stated), Execution::NotRun, "{status}");
    }
    let stated = head::Response { states_not_run: true, ..answer(204) };
    assert_eq!(execution(&stated), Execution::Ran);
}

#[test]
fn a_status_that_promises_proves_nothing_by_itself() {
    for status in [408, 429, 503] {
        assert_eq!(execution(&answer(status)), Execution::Unproved, "{status}");
    }
    for status in [200, 299, 300, 400, 404, 500, 502, 504] {
        assert_eq!(execution(&answer(status)), Execution::Ran, "{status}");
    }
    assert_eq!(execution(&answer(421)), Execution::Replaced);
}

#[test]
fn an_answer_to_another_request_is_a_fault_before_its_seal_is() {
    let other = head::Response { request_id: Some("other"), is_sealed: false, ..answer(200) };
    assert_eq!(fault(&other, STRICT, "id"), Some(Fault::OtherRequest));
    assert_eq!(fault(&other, LAX, "id"), Some(Fault::OtherRequest));
    let unsealed = head::Response { is_sealed: false, ..answer(200) };
    assert_eq!(fault(&unsealed, STRICT, "id"), Some(Fault::NoSeal));
    assert_eq!(fault(&unsealed, LAX, "id"), None);
    let refusal = head::Response { is_sealed: false, ..answer(500) };
    assert_eq!(fault(&refusal, STRICT, "id"), None);
}

#[test]
fn an_answer_without_a_name_suits_a_request_without_one() {
    let unnamed = head::Response { request_id: None, ..answer(200) };
    assert_eq!(fault(&unnamed, STRICT, ""), None);
    assert_eq!(fault(&unnamed, STRICT, "id"), Some(Fault::OtherRequest));
    assert_eq!(fault(&unnamed, LAX, "id"), None);
    let empty = head::Response { request_id: Some(""), ..answer(200) };
    assert_eq!(fault(&empty, STRICT, ""), None);
}
