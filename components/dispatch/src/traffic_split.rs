use crate::ServiceWeight;

/// Distributes the requests of a route over its services by smooth weighted round robin, which
/// follows the weights over short spans too.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    credits: Vec<i64>,
}

impl TrafficSplit {
    /// Index of the service for the next request.
    pub fn next_service(&mut self, services: &[ServiceWeight]) -> usize {
        if services.len() < 2 {
            return 0;
        }
        if self.credits.len() != services.len() {
            self.credits = vec![0; services.len()];
        }
        let total: i64 = services.iter().map(|s| i64::from(s.weight)).sum();
        let mut chosen = 0;
        for (index, service) in services.iter().enumerate() {
            self.credits[index] += i64::from(service.weight);
            if self.credits[index] > self.credits[chosen] {
                chosen = index;
            }
        }
        self.credits[chosen] -= total;
        chosen
    }
}
