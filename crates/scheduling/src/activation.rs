//! Whether a decision is active in a deployment.

/// The setting of a decision that only some deployments need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Activation {
    /// Active where the deployment's configuration, or what its engines report, calls for it.
    #[default]
    Automatic,
    /// Active.
    On,
    /// Inactive.
    Off,
}

impl Activation {
    /// The setting with this name, if there is one.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "automatic" => Some(Self::Automatic),
            "on" => Some(Self::On),
            "off" => Some(Self::Off),
            _ => None,
        }
    }

    /// Whether the decision is active, given whether the deployment calls for it.
    pub fn is_active(self, called_for: bool) -> bool {
        match self {
            Self::Automatic => called_for,
            Self::On => true,
            Self::Off => false,
        }
    }
}
