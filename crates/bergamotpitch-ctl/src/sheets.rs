//! Commands on sheets: check, diff, apply and show.

use bergamotpitch_core::errors::unreadable_error;
use bergamotpitch_core::ids::SheetVersion;
use bergamotpitch_core::sheets::{Sheet, parse_sheet};
use bergamotpitch_platform::{Applied, Platform};

use crate::diffs::{diff_sheets, render_changes};
use crate::errors::{Error, Result, platform_error};

/// `Accepted` is a sheet that the platform accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Its version.
    pub version: SheetVersion,
    /// What changed, in words.
    pub text: String,
}

/// `check` reads a sheet and says what it holds.
///
/// # Errors
///
/// Names the file, the field and the reason of the first fault found.
pub fn check(file: &str) -> Result<String> {
    let sheet = read_sheet(file)?;
    Ok(format!("{file}: good; {}\n", summary(&sheet)))
}

/// `diff` compares a file with the accepted sheet.
///
/// # Errors
///
/// The file has a fault, or the platform is out of reach.
pub async fn diff(platform: &Platform, file: &str) -> Result<String> {
    let sheet = read_sheet(file)?;
    let held = platform.read_sheet().await.map_err(platform_error)?;
    let version = held.as_ref().map_or(0, |held| held.version);
    let changes = diff_sheets(held.as_ref().map(|held| &held.sheet), &sheet);
    let text = render_changes(&changes);
    Ok(format!("{text}{} changes against version {version}\n", changes.len()))
}

/// `apply` writes a file as the next sheet, if no other was accepted since the base version; the
/// version that is held now is the base when none is given.
///
/// # Errors
///
/// The file has a fault; another sheet was accepted; the platform is out of reach; or it took the
/// write and could not be asked afterwards.
pub async fn apply(
    platform: &Platform,
    file: &str,
    base: Option<SheetVersion>,
) -> Result<Accepted> {
    let text = read_text(file)?;
    let sheet = parse_sheet(file, &text)?;
    let held = platform.read_sheet().await.map_err(platform_error)?;
    let held_version = held.as_ref().map_or(0, |held| held.version);
    let base = base.unwrap_or(held_version);
    if base != held_version {
        return Err(Error::Conflict { file: file.to_owned(), base, held: held_version });
    }
    let changes = diff_sheets(held.as_ref().map(|held| &held.sheet), &sheet);
    match platform.apply_sheet(file, &text, base).await.map_err(platform_error)? {
        Applied::Applied { version } => {
            let text = format!(
                "{}applied {file} as version {version}: {} changes against version {base}\n",
                render_changes(&changes),
                changes.len()
            );
            Ok(Accepted { version, text })
        }
        Applied::Conflict { version } => {
            Err(Error::Conflict { file: file.to_owned(), base, held: version })
        }
        Applied::Unknown => Err(Error::OutcomeUnknown { file: file.to_owned() }),
    }
}

/// `show` prints the accepted sheet as JSON, after a comment that names its version.
///
/// # Errors
///
/// The platform is out of reach.
pub async fn show(platform: &Platform) -> Result<String> {
    let Some(held) = platform.read_sheet().await.map_err(platform_error)? else {
        return Ok("// no sheet has been applied yet\n".to_owned());
    };
    let text = serde_json::to_string_pretty(&held.sheet).unwrap_or_default();
    Ok(format!("// version {}: {}\n{text}\n", held.version, summary(&held.sheet)))
}

fn read_sheet(file: &str) -> Result<Sheet> {
    Ok(parse_sheet(file, &read_text(file)?)?)
}

fn read_text(file: &str) -> Result<String> {
    Ok(std::fs::read_to_string(file).map_err(|error| unreadable_error(file, error.to_string()))?)
}

fn summary(sheet: &Sheet) -> String {
    format!(
        "{} domains, {} services, {} upstreams, {} teams",
        sheet.domains.len(),
        sheet.services.len(),
        sheet.upstreams.len(),
        sheet.teams.len()
    )
}
