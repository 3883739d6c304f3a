use nutmegkeel_core::l4::policy::{Mechanism, Policy};

#[test]
fn each_mechanism_has_a_name_of_its_own_that_leads_back_to_it() {
    for mechanism in Mechanism::ALL {
        assert_eq!(mechanism.name().parse(), Ok(mechanism));
    }
}

#[test]
fn only_what_is_switched_off_is_not_used() {
    let policy = Policy::without([Mechanism::Relay]);

    let unused: Vec<_> = Mechanism::ALL.into_iter().filter(|one| !policy.uses(*one)).collect();

    assert_eq!(unused, [Mechanism::Relay]);
    assert_eq!(policy.switched_off(), ["relay"]);
}
