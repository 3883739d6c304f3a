use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};

const CONDITIONS: [Condition; 2] = [Condition::Contention, Condition::HiddenFaults];

fn unused(policy: &Policy) -> Vec<Mechanism> {
    Mechanism::ALL.into_iter().filter(|one| !policy.uses(*one)).collect()
}

#[test]
fn each_mechanism_name_parses_back_to_it() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.name().parse(), Ok(mechanism));
    }
}

#[test]
fn only_disabled_mechanisms_are_unused() {
    let policy = Policy::without([Mechanism::Relay]).under(CONDITIONS);

    assert_eq!(unused(&policy), [Mechanism::Relay]);
    assert_eq!(policy.switched_off(), ["relay"]);
}

/// A deployment that declares no condition uses the unconditional mechanisms only, and each
/// condition adds its own mechanisms only.
#[test]
fn a_conditional_mechanism_is_used_only_under_its_condition() {
    for mechanism in Mechanism::ALL {
        for condition in CONDITIONS {
            let uses = Policy::default().under([condition]).uses(mechanism);

            assert_eq!(uses, mechanism.needs().is_none_or(|need| need == condition), "{mechanism}");
        }
    }
    assert!(unused(&Policy::default()).into_iter().all(|one| one.needs().is_some()));
}

/// An operator must be able to switch off a mechanism even if the deployment declares its
/// condition.
#[test]
fn a_disabled_mechanism_is_unused_even_under_its_condition() {
    let policy = Policy::without([Mechanism::Room]).under(CONDITIONS);

    assert!(!policy.uses(Mechanism::Room));
}
