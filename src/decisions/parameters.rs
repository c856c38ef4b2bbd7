//! Parameters of the decisions by name, each with the value that is in force unless an experiment says otherwise. The
//! values stand beside the decisions themselves; this is only the form they are written in.
//!
//! Guards against: a sweep that needs a build for each value, and a parameter that a sweep names and nobody reads.

/// Declares a struct of parameters: its fields, their defaults, and a way to set one by its name.
#[macro_export]
macro_rules! parameters {
    ($struct:ident { $($(#[$doc:meta])* $name:ident: $kind:ty = $value:expr;)* }) => {
        /// Parameters; what they are by default is in force wherever no experiment says otherwise.
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $struct {
            $($(#[$doc])* #[doc = concat!("(`", stringify!($name), "`)")] pub $name: $kind,)*
        }

        impl Default for $struct {
            fn default() -> Self {
                $struct { $($name: $value,)* }
            }
        }

        impl $struct {
            /// The names, in the order of their declaration.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name),)*];

            /// Sets a parameter; one that counts is rounded. False where none has this name, or it cannot take the value.
            pub fn set(&mut self, name: &str, value: f64) -> bool {
                match name {
                    $(stringify!($name) => {
                        let new = value as $kind;
                        // A whole number that is negative or too large would be another one silently.
                        let fits = value.is_finite() && (new as f64 - value).abs() <= 0.5 + value.abs() * 1e-6;
                        if fits {
                            self.$name = new;
                        }
                        fits
                    })*
                    _ => false,
                }
            }

            /// A parameter's value.
            pub fn get(&self, name: &str) -> Option<f64> {
                match name {
                    $(stringify!($name) => Some(self.$name as f64),)*
                    _ => None,
                }
            }
        }
    };
}
