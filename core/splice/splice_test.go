package splice

import "testing"

func TestAlign(t *testing.T) {
	tests := []struct {
		name              string
		delivered, offset uint64
		length            int
		want              Alignment
	}{
		{"next part", 10, 10, 5, Alignment{}},
		{"repeated part", 10, 5, 5, Alignment{Skip: 5}},
		{"part repeated from the start", 10, 0, 5, Alignment{Skip: 5}},
		{"overlapping part", 10, 8, 5, Alignment{Skip: 2}},
		{"missing part", 10, 11, 5, Alignment{Gap: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Align(tt.delivered, tt.offset, tt.length); got != tt.want {
				t.Errorf("Align = %+v, want %+v", got, tt.want)
			}
		})
	}
}
