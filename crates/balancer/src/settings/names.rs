//! The names of classes and tenants, and ids that are derived from names.

use crate::{ClassId, TenantId};
use fnv::FnvHasher;
use std::hash::Hasher;

/// The id of a backend, zone or machine type: the 64-bit FNV-1a hash of its name. All processes use
/// the same ids, whatever endpoint lists they have received.
pub fn stable_id(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// The names of the classes and tenants of a [`Config`](crate::Config), in the order of their ids.
#[derive(Debug, Default)]
pub struct Names {
    pub(super) classes: Vec<String>,
    pub(super) tenants: Vec<String>,
}

impl Names {
    /// The id of the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes
            .iter()
            .position(|other| other == name)
            .map(ClassId)
    }

    /// The id of the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants
            .iter()
            .position(|other| other == name)
            .map(TenantId)
    }

    /// Whether there are any tenants.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }
}
