package predictor

import "container/list"

// recentMap is a map of bounded size. It drops the entry that was put longest ago.
type recentMap[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List // of recentEntry[K, V], the last put first
}

type recentEntry[K comparable, V any] struct {
	key   K
	value V
}

func newRecentMap[K comparable, V any](limit int) *recentMap[K, V] {
	return &recentMap[K, V]{
		limit:   limit,
		entries: map[K]*list.Element{},
		order:   list.New(),
	}
}

func (m *recentMap[K, V]) get(key K) (value V, ok bool) {
	element, ok := m.entries[key]
	if !ok {
		return value, false
	}
	return element.Value.(*recentEntry[K, V]).value, true
}

func (m *recentMap[K, V]) put(key K, value V) {
	if element, ok := m.entries[key]; ok {
		element.Value.(*recentEntry[K, V]).value = value
		m.order.MoveToFront(element)
		return
	}
	if len(m.entries) >= m.limit {
		oldest := m.order.Back()
		delete(m.entries, oldest.Value.(*recentEntry[K, V]).key)
		m.order.Remove(oldest)
	}
	m.entries[key] = m.order.PushFront(&recentEntry[K, V]{
		key:   key,
		value: value,
	})
}
