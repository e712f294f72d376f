//! Residencies: in which regions the data of a request may be served, cached and stored.
//!
//! Operators name the regions of a route and of a team. What is sent to an upstream elsewhere has
//! left its regions for good, so a request whose regions have no upstream is refused: no outage,
//! overload or evacuation makes the set wider.

use bergamotpitch_core::ids::{RegionId, id_of_name};
use serde::{Deserialize, Serialize};

/// `AllowedRegions` is the set of regions that data may enter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// Every region, also one that has no name here.
    #[default]
    Any,
    /// These regions alone; an empty list allows none.
    Only(Vec<RegionId>),
}

impl AllowedRegions {
    /// `named` returns the set of the regions with these names.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::residencies::AllowedRegions;
    /// use bergamotpitch_core::ids::id_of_name;
    ///
    /// let allowed = AllowedRegions::named(["north"]);
    /// assert!(allowed.allows(Some(id_of_name("north"))));
    /// assert!(!allowed.allows(Some(id_of_name("south"))));
    /// ```
    pub fn named<'a>(regions: impl IntoIterator<Item = &'a str>) -> Self {
        let mut regions: Vec<RegionId> = regions.into_iter().map(id_of_name).collect();
        regions.sort_unstable();
        regions.dedup();
        Self::Only(regions)
    }

    /// `allows` tells whether data may enter a region; `None` is one that is not known, which only an
    /// unrestricted set allows.
    pub fn allows(&self, region: Option<RegionId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(&region)),
        }
    }

    /// `allows_none` tells whether no region is left.
    pub fn allows_none(&self) -> bool {
        *self == Self::Only(Vec::new())
    }

    /// `intersection` returns the regions that both sets allow.
    ///
    /// ```
    /// use bergamotpitch_control::traffic::residencies::AllowedRegions;
    ///
    /// let route = AllowedRegions::named(["north", "south"]);
    /// let team = AllowedRegions::named(["south", "west"]);
    /// assert_eq!(route.intersection(&team), AllowedRegions::named(["south"]));
    /// assert_eq!(route.intersection(&AllowedRegions::Any), route);
    /// assert!(team.intersection(&AllowedRegions::named(["north"])).allows_none());
    /// ```
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, regions) | (regions, Self::Any) => regions.clone(),
            (Self::Only(regions), Self::Only(others)) => {
                let both = regions.iter().filter(|region| others.contains(region));
                Self::Only(both.copied().collect())
            }
        }
    }
}
