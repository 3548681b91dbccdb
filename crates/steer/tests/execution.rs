//! Checks what a response head proves about the execution of its request.

use model::head;
use model::statement;
use steer::dispatch::execution::{Execution, Fault, Requirements, execution, fault};

const ALL_REQUIRED: Requirements = Requirements { request_id: true, seal: true };
const NONE_REQUIRED: Requirements = Requirements { request_id: false, seal: false };

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
fn not_run_statement_is_valid_for_errors_only() {
    for status in [400, 404, 408, 429, 500, 502, 503] {
        let with_statement = head::Response { states_not_run: true, ..answer(status) };
        assert_eq!(execution(&with_statement), Execution::NotRun, "{status}");
    }
    let with_statement = head::Response { states_not_run: true, ..answer(204) };
    assert_eq!(execution(&with_statement), Execution::Ran);
}

#[test]
fn refusal_status_without_a_statement_is_no_proof() {
    for status in [408, 429, 503] {
        assert_eq!(execution(&answer(status)), Execution::Unproved, "{status}");
    }
    for status in [200, 299, 300, 400, 404, 500, 502, 504] {
        assert_eq!(execution(&answer(status)), Execution::Ran, "{status}");
    }
    assert_eq!(execution(&answer(421)), Execution::Replaced);
}

#[test]
fn other_request_id_takes_precedence_over_a_missing_seal() {
    let other_request =
        head::Response { request_id: Some("other"), is_sealed: false, ..answer(200) };
    assert_eq!(fault(&other_request, ALL_REQUIRED, "id"), Some(Fault::OtherRequest));
    assert_eq!(fault(&other_request, NONE_REQUIRED, "id"), Some(Fault::OtherRequest));
    let unsealed = head::Response { is_sealed: false, ..answer(200) };
    assert_eq!(fault(&unsealed, ALL_REQUIRED, "id"), Some(Fault::NoSeal));
    assert_eq!(fault(&unsealed, NONE_REQUIRED, "id"), None);
    let refusal = head::Response { is_sealed: false, ..answer(500) };
    assert_eq!(fault(&refusal, ALL_REQUIRED, "id"), None);
}

#[test]
fn response_may_lack_id_if_request_lacks_one() {
    let without_id = head::Response { request_id: None, ..answer(200) };
    assert_eq!(fault(&without_id, ALL_REQUIRED, ""), None);
    assert_eq!(fault(&without_id, ALL_REQUIRED, "id"), Some(Fault::OtherRequest));
    assert_eq!(fault(&without_id, NONE_REQUIRED, "id"), None);
    let empty_id = head::Response { request_id: Some(""), ..answer(200) };
    assert_eq!(fault(&empty_id, ALL_REQUIRED, ""), None);
}
