use nutmegkeel_core::l4::policy::{Condition, Mechanism, Policy};

const CONDITIONS: [Condition; 2] = [Condition::Contention, Condition::HiddenFaults];

fn unused(policy: &Policy) -> Vec<Mechanism> {
    Mechanism::ALL.into_iter().filter(|one| !policy.uses(*one)).collect()
}

#[test]
fn each_mechanism_has_a_name_of_its_own_that_leads_back_to_it() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.name().parse(), Ok(mechanism));
    }
}

#[test]
fn only_what_is_switched_off_is_not_used() {
    let policy = Policy::without([Mechanism::Relay]).under(CONDITIONS);

    assert_eq!(unused(&policy), [Mechanism::Relay]);
    assert_eq!(policy.switched_off(), ["relay"]);
}

/// A deployment that declares no condition uses the unconditional mechanisms only, and each
/// condition adds its own mechanisms only.
#[test]
fn a_mechanism_is_used_only_where_the_deployment_calls_for_it() {
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
fn what_is_switched_off_is_not_used_though_it_is_called_for() {
    let policy = Policy::without([Mechanism::Room]).under(CONDITIONS);

    assert!(!policy.uses(Mechanism::Room));
}
