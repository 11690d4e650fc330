//! Identity of requests: the same request sent again under another id, and requests that differ.

use plumgate::gateway::{
    IdentityHasher, PromptPart, PromptShape, RequestHead, RequestIdentity, RunSuspects,
};
use plumgate::ids::WorkspaceId;
use quickcheck::quickcheck;

fn identity(workspace: Option<&str>, path: &str, pieces: &[&[u8]]) -> RequestIdentity {
    let workspace: Option<WorkspaceId> = workspace.map(Into::into);
    let mut hasher = IdentityHasher::new(RequestHead {
        workspace: workspace.as_ref(),
        method: "POST",
        host: "models.example",
        path,
    });
    for piece in pieces {
        hasher.update(piece);
    }
    hasher.finish()
}

quickcheck! {
    fn identity_does_not_depend_on_how_the_network_splits_a_body(body: Vec<u8>, at: usize) -> bool {
        let (head, tail) = body.split_at(at % (body.len() + 1));
        identity(Some("lab"), "/a/", &[&body]) == identity(Some("lab"), "/a/", &[head, tail])
    }

    fn different_bodies_are_different_requests(one: Vec<u8>, other: Vec<u8>) -> bool {
        let same = identity(Some("lab"), "/a/", &[&one]) == identity(Some("lab"), "/a/", &[&other]);
        same == (one == other)
    }
}

// Guards against a caller that gets another caller's requests blocked: the same path and body with the key of
// another workspace is a different request.
#[test]
fn requests_differ_by_workspace_path_and_body() {
    let own = identity(Some("lab"), "/a/", &[b"x"]);
    assert_eq!(own, identity(Some("lab"), "/a/", &[b"x"]));
    assert_ne!(own, identity(Some("clinic"), "/a/", &[b"x"]));
    assert_ne!(own, identity(None, "/a/", &[b"x"]));
    assert_ne!(own, identity(Some("lab"), "/a/?b", &[b"x"]));
    assert_ne!(own, identity(Some("lab"), "/a/", &[]));
    assert_ne!(own, identity(Some("lab"), "/a/x", &[]));
    assert_eq!(own.to_string().len(), 16, "length in logs: {own}");
}

// The parts of a prompt are the same in all requests that hold them, whatever their workspace, text and other parts;
// the last part belongs to the request.
#[test]
fn prompt_parts_are_recognized_in_other_requests() {
    let prompt = |ids: &[u64]| PromptShape {
        parts: ids
            .iter()
            .map(|id| PromptPart { id: *id, tokens: 7 })
            .collect(),
        max_output_tokens: 9,
    };
    let suspects = |workspace: &str, ids: &[u64]| {
        let workspace: WorkspaceId = workspace.into();
        let hasher = IdentityHasher::new(RequestHead {
            workspace: Some(&workspace),
            method: "POST",
            host: "models.example",
            path: "/a/",
        });
        RunSuspects::new(hasher.finish()).with_prompt(&prompt(ids))
    };
    let first = suspects("lab", &[1, 2, 3]);
    let second = suspects("clinic", &[4, 2, 2, 3, 5]);
    assert_ne!(first.request(), second.request());
    assert_eq!(first.parts().len(), 2, "all but the last");
    assert_eq!(second.parts().len(), 3, "each once");
    assert!(second.parts().contains(&first.parts()[1]));
    assert!(!second.parts().contains(&first.parts()[0]));
    assert!(first.parts().iter().all(RequestIdentity::is_prompt_part));
    assert!(!first.request().is_prompt_part());
}
