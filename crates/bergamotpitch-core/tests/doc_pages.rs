//! Pages link to what exists, and docs/PROOF.md names tests that exist.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Every page of the repository that readers begin with.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    for folder in ["docs", "docs/design"] {
        for entry in std::fs::read_dir(root().join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path);
            }
        }
    }
    pages.sort();
    pages
}

/// Targets of the Markdown links of a page, without anchors.
fn links(page: &str) -> Vec<&str> {
    let parts = page.split("](").skip(1);
    let targets = parts.filter_map(|part| part.split_once(')').map(|(target, _)| target));
    targets.map(|target| target.split('#').next().unwrap_or("")).collect()
}

#[test]
fn links_lead_somewhere() {
    let mut broken = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).unwrap();
        for link in links(&text) {
            let is_local = !link.is_empty() && !link.contains("://");
            if is_local && !page.parent().unwrap().join(link).exists() {
                broken.push(format!("{}: {link}", page.display()));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// A page that names a test which was renamed or never written proves nothing.
#[test]
fn proofs_name_tests() {
    let page = std::fs::read_to_string(root().join("docs/PROOF.md")).unwrap();
    let mut named = 0;
    for token in page.split('`').filter(|token| token.contains("::") && !token.contains('<')) {
        let Some((path, test)) = token.split_once("::") else { continue };
        let Some((name, file)) = path.split_once('/') else { continue };
        let source = format!("crates/bergamotpitch-{name}/tests/{file}.rs");
        let text = std::fs::read_to_string(root().join(&source)).unwrap_or_default();
        assert!(text.contains(&format!("fn {test}(")), "docs/PROOF.md: {token} is not in {source}");
        named += 1;
    }
    assert!(8 <= named, "docs/PROOF.md names only {named} tests");
}
